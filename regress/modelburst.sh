# Callers get answers made by old weights longer after a newer version was named
# than they may.  A second version is named before the first is in place, and a
# VM starts after that, or one that runs missed an answer: it hears only of the
# second, and counts the grace of weights that the first one outdated from
# there.  The row has both, but only what the VM heard itself was looked up.
model=${CQ_MODEL:-./model}
$model burst | sed 's/ runs=[0-9]* states=[0-9]*//'
