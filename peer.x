/*
 * Messages between VMs.  The program has one procedure, which carries a sealed
 * message; what is inside is one of the bodies below.  peer_gen.h and
 * peer_gen.c are generated from this file by rpcgen ("make generate").
 */
const PEER_NAME_MAX = 63;
const PEER_RUMORS_MAX = 32;
const PEER_CHANGES_MAX = 64;
const PEER_TEXT_MAX = 65536;
const PEER_BOX_MAX = 1048576;
const PEER_WORK_MAX = 40;
const PEER_REPORTS_MAX = 24;
const PEER_FACTS_MAX = 128;
const PEER_REQUEST_BYTES = 16;
const PEER_STREAMS_MAX = 64;
const PEER_NONCE_BYTES = 16;
const PEER_DIGEST_BYTES = 32;
const PEER_ROW_MAX = 4194304;
const PEER_ROWS_MAX = 65536;

/* A VM as it says of itself, or as others say of it. */
struct peer_member
{
  string name<PEER_NAME_MAX>;
  string domain<PEER_NAME_MAX>;
  string address<PEER_NAME_MAX>;
  unsigned hyper incarnation;
  unsigned int beat;
  unsigned int state;
  unsigned hyper revision;
};

/* Asked and answered: who I am, what I have heard. */
struct peer_ping
{
  peer_member self;
  peer_member rumors<PEER_RUMORS_MAX>;
};

/* Settings that were the newest when this was said, but for AGE_MS. */
struct peer_fresh
{
  unsigned hyper revision;
  unsigned hyper age_ms;
};

/* Answered to a ping.  What follows the ping is sent if the settings were ever
   confirmed; a program that knows no ages neither reads nor sends it. */
struct peer_pong
{
  peer_ping ping;
  peer_fresh *fresh;
};

/* A change of settings, as its row in the table. */
struct peer_change
{
  unsigned hyper revision;
  string text<PEER_TEXT_MAX>;
};

/* Changes after a revision. */
struct peer_changes
{
  unsigned hyper revision;
  peer_change changes<PEER_CHANGES_MAX>;
};

/* Work of a VM's requests with one part at an endpoint, in tokens. */
struct peer_work_entry
{
  unsigned hyper endpoint;
  unsigned hyper part;
  unsigned int unread;
  unsigned int held;
  unsigned int shared_unread;
  unsigned int shared_held;
};

/* A datagram of its own: all that a VM's requests have under way. */
struct peer_work
{
  string vm<PEER_NAME_MAX>;
  string domain<PEER_NAME_MAX>;
  unsigned hyper life;
  unsigned hyper beat;
  peer_work_entry entries<PEER_WORK_MAX>;
};

/* What a VM observed of an endpoint.  SPEED_PERCENT is 0, and RUNNING is -1, if
   the endpoint did not report it. */
struct peer_report
{
  unsigned hyper endpoint;
  unsigned int seen;
  unsigned int age_us;
  int running;
  unsigned int waiting;
  unsigned int speed_percent;
};

/* The work with reports on endpoints, sealed in a datagram of its own.  KIND is
   a constant that no other message under the same key begins with. */
struct peer_sealed_work
{
  unsigned int kind;
  peer_work work;
  peer_report reports<PEER_REPORTS_MAX>;
};

/* A row of one of the platform's tables, as a VM passes it on.  The value is
   one of the two bodies below, or as stored; it is empty if the row was
   removed. */
struct peer_row
{
  string key<PEER_NAME_MAX>;
  unsigned hyper change;
  bool removed;
  opaque value<PEER_ROW_MAX>;
};

struct peer_rows
{
  peer_row rows<PEER_ROWS_MAX>;
};

/* An endpoint as the platform lists it. */
struct peer_listing
{
  string address<PEER_NAME_MAX>;
  string service<PEER_NAME_MAX>;
  string domain<PEER_NAME_MAX>;
  string model<PEER_NAME_MAX>;
  unsigned hyper started_ms;
  unsigned hyper weights;
  unsigned int slots;
  bool draining;
  unsigned int cold_ms;
  string build<PEER_NAME_MAX>;
};

/* A VM as the platform lists it. */
struct peer_vm
{
  string domain<PEER_NAME_MAX>;
  string address<PEER_NAME_MAX>;
  string list_address<PEER_NAME_MAX>;
  unsigned int link_mbit_s;
};

/* Asks for the rows of a table that changed after a version; for all rows if
   that is 0.  Sealed. */
struct peer_list_request
{
  opaque nonce[PEER_NONCE_BYTES];
  unsigned int table;
  unsigned hyper era;
  unsigned hyper since;
};

/* The sealed head of a reply; the rows follow it and are bound to it by their
   digest.  Ages are those at which the sender knew what it says to be current;
   the operators' row is the newest of their changes up to operator_change. */
struct peer_list_reply
{
  opaque nonce[PEER_NONCE_BYTES];
  unsigned int status;
  unsigned int depth;
  unsigned hyper era;
  unsigned hyper change;
  unsigned hyper age_ms;
  unsigned hyper operator_row;
  unsigned hyper operator_change;
  unsigned hyper operator_age_ms;
  opaque digest[PEER_DIGEST_BYTES];
};

/* What a VM saw of a request: that the endpoint with this key ended under it,
   or, if that is 0, that one answered it whole. */
struct peer_fact
{
  opaque request[PEER_REQUEST_BYTES];
  unsigned hyper endpoint;
  unsigned hyper at_ms;
  unsigned int ran_ms;
};

/* A row of the platform's table, and, sealed, a datagram of its own. */
struct peer_facts
{
  peer_fact facts<PEER_FACTS_MAX>;
};

/* A row of the platform's table: a build of a service's endpoints, and when the
   last endpoint of it left by the platform's clock; 0 while it serves. */
struct peer_build
{
  string service<PEER_NAME_MAX>;
  string name<PEER_NAME_MAX>;
  unsigned hyper left_ms;
};

/* Where a stream began, and until when that is of use by the platform's
   clock. */
struct peer_stream
{
  opaque stream[PEER_REQUEST_BYTES];
  unsigned hyper build;
  unsigned hyper until_ms;
};

/* A row of the platform's table. */
struct peer_streams
{
  peer_stream streams<PEER_STREAMS_MAX>;
};

/* Tells where a stream began, or asks for it; sealed, in a datagram of its own.
   KIND is a constant that no other message under the same key begins with,
   SENDER a hash of the VM's name, and BUILD 0 if the sender does not know. */
struct peer_origin
{
  unsigned int kind;
  bool asks;
  unsigned hyper sender;
  unsigned hyper at_ms;
  opaque stream[PEER_REQUEST_BYTES];
  unsigned hyper build;
  unsigned int keep_ms;
};

/* Kinds of messages. */
enum peer_proc
{
  PEER_PING = 1,
  PEER_CHANGES = 2
};

/* A message before it is sealed. */
struct peer_envelope
{
  string sender<PEER_NAME_MAX>;
  string receiver<PEER_NAME_MAX>;
  unsigned hyper sent_ms;
  peer_proc proc;
  opaque body<PEER_BOX_MAX>;
};

/* A sealed message: key id, nonce, and the encrypted envelope. */
struct peer_sealed
{
  unsigned int key_id;
  opaque nonce[24];
  opaque box<PEER_BOX_MAX>;
};

program CQ_PEER
{
  version CQ_PEER_V1
  {
    peer_sealed CQ_PEER_CALL (peer_sealed) = 1;
  } = 1;
} = 0x20c0a001;
