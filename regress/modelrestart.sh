# Guards against endpoints that keep old weights, or get no requests, after
# they restarted under their id: an order to an earlier incarnation is carried
# out when orders are counted from zero.  All combinations of two faults in a
# run are checked.  With nothing switched off, every endpoint ends with the
# newest weights, and with a safeguard switched off some run must not.
model=${CQ_MODEL:-./model}
$model restarts | sed 's/ runs=[0-9]* states=[0-9]*//; s/ steps=[0-9]*//'
