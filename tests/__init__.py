"""Tests of coltsfootseam."""
