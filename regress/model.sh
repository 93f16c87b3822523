# Which safeguard does what: the deciding code in played time, with all that a
# few faults in a run may do.  With nothing switched off no run may break a
# property; with a safeguard switched off some run must, or nothing here would
# notice its loss.  Counts are those of the search, and change with any time in
# the code: a line is right as long as it says "found" or "not found" as here.
model=${CQ_MODEL:-./model}
echo "== lease and orders, without:"
$model lease
echo "== namings of weights, without:"
$model namings
echo "== keys that are taken away, without:"
$model keys
