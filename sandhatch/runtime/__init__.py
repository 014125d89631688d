"""What every protocol and every pool shares: time, log lines, memory, addresses. It decides nothing."""
