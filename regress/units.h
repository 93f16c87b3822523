/* What the unit tests share. */
#ifndef CQ_UNITS_H
#define CQ_UNITS_H

/* A test by path. */
struct unit
{
  const char *path;   /* as GLib's tests name it */
  void (*run) (void); /* the test */
};

/* Ends with an entry without a path. */
extern const struct unit wire_units[];
extern const struct unit fleet_units[];
extern const struct unit relay_units[];
extern const struct unit orders_units[];
extern const struct unit follow_units[];
extern const struct unit parts_units[];
extern const struct unit share_units[];
extern const struct unit fresh_units[];
extern const struct unit xfer_units[];
extern const struct unit oddrow_units[];
extern const struct unit header_units[];
extern const struct unit steps_units[];
extern const struct unit incarnation_units[];
extern const struct unit load_units[];
extern const struct unit admit_units[];
extern const struct unit cold_units[];
extern const struct unit limit_units[];
extern const struct unit notice_units[];
extern const struct unit regions_units[];
extern const struct unit evac_units[];
extern const struct unit quar_units[];
extern const struct unit relayquar_units[];
extern const struct unit relaystate_units[];
extern const struct unit mirror_units[];
extern const struct unit routeshare_units[];
extern const struct unit observe_units[];
extern const struct unit returns_units[];
extern const struct unit speed_units[];
extern const struct unit spread_units[];
extern const struct unit health_units[];
extern const struct unit reach_units[];
extern const struct unit forward_units[];
extern const struct unit build_units[];
extern const struct unit vmpath_units[];
extern const struct unit brittle_units[];
extern const struct unit partquar_units[];

#endif
