# Guards against late answers of a service that runs at 80 percent of its
# slots: prints the share of answers in time, under the old rule and the new
# one, in simulated time with seeded arrivals.
units=${CQ_UNITS:-./test-units}
$units -p /spread 2>&1 | sed -n '/answers in time/s/^# //p'
