"""gRPC options that detect unresponsive connections between entry hosts."""

KEEPALIVE_INTERVAL_MS = 5_000
KEEPALIVE_TIMEOUT_MS = 2_000
MAX_RECONNECT_BACKOFF_MS = 1_000
MAX_MESSAGE_BYTES = 64 * 1024 * 1024

CLIENT_OPTIONS = [
    ("grpc.keepalive_time_ms", KEEPALIVE_INTERVAL_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.keepalive_permit_without_calls", 0),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.max_reconnect_backoff_ms", MAX_RECONNECT_BACKOFF_MS),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_http_proxy", 0),
    # Without this, a new channel would share an old, unresponsive connection.
    ("grpc.use_local_subchannel_pool", 1),
]

SERVER_OPTIONS = [
    ("grpc.keepalive_time_ms", KEEPALIVE_INTERVAL_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 1_000),
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
]
