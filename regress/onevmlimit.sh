# Guards against limits of endpoints that are divided among VMs without regard
# to their demand: most connections go to one VM.
limit=6
. ./onevm.sh
