@0xb6a4f0c1d2e39a57;

# Frames between daemons. Times are microseconds by the sender's clock.

struct Hello {
  key @0 :Text;
  member @1 :Text;
}

struct Heartbeat {
  sentMicros @0 :Int64;
  echoMicros @1 :Int64;
  storeAgeMicros @2 :Int64;
  freshRunMicros @3 :Int64;
  membersVersion @4 :Int64;
  configurationVersion @5 :Int64;
  silent @6 :List(Text);
}

struct Want {
  service @0 :Text;
  count @1 :Int32;
  oldestAgeMicros @2 :Int64;
  askedMicros @3 :Int64;
}

struct Loan {
  loanId @0 :Text;
  server @1 :Text;
}

struct Lend {
  service @0 :Text;
  askedMicros @1 :Int64;
  loans @2 :List(Loan);
  termMicros @3 :Int64;
}

struct GiveBack {
  service @0 :Text;
  loanIds @1 :List(Text);
}

struct Value {
  key @0 :Text;
  version @1 :Int64;
  value @2 :Data;
}

struct Question {
  number @0 :Int64;
  topic @1 :Text;
  body @2 :Data;
}

struct Reply {
  number @0 :Int64;
  found @1 :Bool;
  body @2 :Data;
}

struct Frame {
  union {
    hello @0 :Hello;
    heartbeat @1 :Heartbeat;
    want @2 :Want;
    lend @3 :Lend;
    giveBack @4 :GiveBack;
    fetch @5 :Text;
    value @6 :Value;
    question @7 :Question;
    reply @8 :Reply;
  }
}
