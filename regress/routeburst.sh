# Guards against one route's burst being refused from all routes alike: long
# prompts arrive 2.4 times as often for 6 s while a quarter of the endpoints is
# gone.  Also against one workspace, ten times as loud as the others, taking
# their part.  Simulated time, five seeds: the same figures in every run.
./burst
