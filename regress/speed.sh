# Guards against long prompts that stall the streams of slow endpoints: prints
# the share of streams with a pause over the target, under the old rule and the
# new one, in simulated time with seeded arrivals.
units=${CQ_UNITS:-./test-units}
$units -p /speed 2>&1 | sed -n '/over target/s/^# //p'
