/* Stand-in for an endpoint of the users' platform. */
#ifndef CQ_FAKESRV_H
#define CQ_FAKESRV_H

int fakesrv_main (int port);

#endif
