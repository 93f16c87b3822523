# Guards against streams that hold events of two builds, and against refusals of
# streams that a VM could have known.  All combinations of two faults on three
# VMs; then shares on many VMs by seed.
model=${CQ_MODEL:-./model}
$model streams | sed 's/ runs=[0-9]* states=[0-9]*//; s/ steps=[0-9]*//'
$model shares | sed 's/, [0-9.]* messages a stream//'
