@0xc7d1f3a9b5e24801;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("coltsfootshed::wire");

struct ServiceDemand {
  service @0 :Text;
  demand @1 :UInt32;  # requests running or waiting
  spare @2 :UInt32;   # free slots that other data centres may use
}

# A sign that a VM is leaving, seen while its record had this revision.
struct LeavingMark {
  vm @0 :Text;
  revision @1 :UInt64;
}

struct NodeAddress {
  node @0 :Text;
  dataCentre @1 :Text;
  endpoint @2 :Text;
}

# A node's state and the addresses of other nodes that it knows.
struct Report {
  self @0 :NodeAddress;
  version @1 :UInt64;      # of the configuration in force
  vmRevision @2 :UInt64;   # of the VM list of its data centre
  stopping @3 :Bool;
  demands @4 :List(ServiceDemand);
  marks @5 :List(LeavingMark);
  known @6 :List(NodeAddress);
  fleetRevision @7 :UInt64;  # of the fleet records of its data centre
  quiet @8 :List(QuietVm);
}

# A VM that is out of service under this fence and on which the reporting node
# has no request in flight.
struct QuietVm {
  vm @0 :Text;
  fence @1 :UInt64;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

# A request handed over to another data centre. The receiver does not hand it
# over again.
struct Handover {
  service @0 :Text;
  requestClass @1 :UInt8;
  tenant @2 :Text;
  idempotent @3 :Bool;
  deadlineMs @4 :UInt32;   # time left until the deadline
  requestId @5 :Text;
  method @6 :Text;
  target @7 :Text;
  headers @8 :List(Header);
  body @9 :Data;
}

struct HandoverAnswer {
  outcome @0 :UInt8;
  code @1 :UInt16;
  headers @2 :List(Header);
  body @3 :Data;
}

interface Peer {
  exchange @0 (report :Report) -> (report :Report);
  fetchHead @1 () -> (head :Text);
  fetchSections @2 (digests :List(Text)) -> (sections :List(Text));
  fetchVms @3 (since :UInt64) -> (page :Text);
  handOver @4 (request :Handover) -> (answer :HandoverAnswer);
  fetchRecords @5 () -> (revision :UInt64, records :Text);
}
