import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { SlotQueue } from "@clementinemux/policy/admission/SlotQueue";
import type { SlotRequest } from "@clementinemux/policy/admission/SlotRequest";

const reportMs = 200;

function createRequest(priority: number, fields: Partial<SlotRequest> = {}): SlotRequest {
  return {
    requestClass: priority,
    classWeight: 1,
    team: "a",
    teamWeight: 1,
    costMs: 100,
    enteredAtMs: 0,
    dueAtMs: 1000,
    ...fields,
  };
}

function createQueue(requests: readonly SlotRequest[], inFlight = 0): SlotQueue<SlotRequest> {
  const queue = new SlotQueue<SlotRequest>(createRandom(5));
  for (let index = 0; index < inFlight; index += 1) {
    queue.noteTaken();
  }
  for (const request of requests) {
    queue.push(request, 0);
  }
  return queue;
}

// Guards against luck deciding who gets a slot.
t.test("priority comes first, then the team with less cost, then the request that is due first", (t) => {
  const late = createRequest(1, { dueAtMs: 900 });
  const early = createRequest(1, { dueAtMs: 300 });
  const costly = createRequest(1, { team: "b", costMs: 400 });
  const nextOfCostly = createRequest(1, { team: "b", costMs: 400 });
  const bulk = createRequest(2, { dueAtMs: 100 });
  const urgent = createRequest(0);
  const queue = createQueue([bulk, late, costly, nextOfCostly, early, urgent]);
  const order = Array.from({ length: 6 }, () => queue.pop(() => true));
  t.same(order, [urgent, early, costly, late, nextOfCostly, bulk]);
  t.equal(queue.size, 0);
  t.end();
});

// Guards against less urgent requests that never get a slot, and against ones that get more than a twentieth.
t.test("less urgent requests keep a twentieth of the slots", (t) => {
  const queue = createQueue([
    ...Array.from({ length: 400 }, () => createRequest(0)),
    ...Array.from({ length: 400 }, () => createRequest(2)),
  ]);
  const order = queue.listInOrder();
  const served = Array.from({ length: 200 }, () => queue.pop(() => true));
  t.same(served, order.slice(0, 200), "the order that estimates use is the real one");
  const lower = served.filter((request) => request?.requestClass === 2).length;
  t.ok(lower >= 8 && lower <= 11, `${lower} of 200`);
  t.end();
});

// Guards against a request that is held to its wait limit in vain, and against one that is rejected though it gets a slot.
t.test("requests that cannot get a slot in time are rejected, the last ones first", (t) => {
  const requests = Array.from({ length: 30 }, (_, index) => createRequest(1, { dueAtMs: 200 + index / 100 }));
  const queue = createQueue(requests, 10);
  queue.noteTaken();
  queue.noteFreed(400);
  // 10 slots of 400 ms free 5 slots in 200 ms; two standard deviations more are 10.5.
  const hopeless = queue.listHopeless(0, 0);
  t.same(hopeless, requests.slice(10));
  const [first] = requests;
  t.equal(
    Math.round(queue.estimateWaitMs(first!, 0, 0)),
    (31 * 400) / 10,
    "the last place takes as long as 31 slots",
  );
  t.equal(queue.listHopeless(20, 0).length, 0, "free slots count");
  t.same(queue.listExpired(200), [first]);
  t.end();
});

// Guards against a gateway with less urgent requests that uses up the slots for which urgent ones wait elsewhere.
t.test("a gateway passes slots on to more urgent requests at others, and keeps a twentieth", (t) => {
  const requests = Array.from({ length: 100 }, () => createRequest(1));
  const queue = createQueue(requests, 1000);
  let taken = 0;
  for (let report = 1; report <= 20; report += 1) {
    queue.noteReport(100, new Map([[0, 40]]), report * reportMs);
    for (let freed = 0; freed < 10; freed += 1) {
      queue.noteFreed(2000);
      if (queue.mayTake(requests[0]!, 1, report * reportMs)) {
        queue.noteTaken();
        taken += 1;
      }
    }
  }
  queue.noteFreed(2000);
  t.ok(taken >= 9 && taken <= 12, `${taken} of 200`);
  t.ok(queue.mayTake(createRequest(0), 1, 4000), "a request as urgent as those elsewhere uses a freed slot");
  t.ok(queue.mayTake(requests[0]!, 1, 6000), "others whose figures are too old do not count");
  t.end();
});

// Guards against gateways that see the same free slots and fill all of them.
t.test("gateways share the slots that all of them see free by their waiting requests", (t) => {
  let taken = 0;
  for (let round = 0; round < 200; round += 1) {
    const queue = new SlotQueue<SlotRequest>(createRandom(round));
    const requests = Array.from({ length: 4 }, () => createRequest(1));
    requests.forEach((request) => {
      queue.push(request, 0);
    });
    queue.noteReport(500, new Map([[1, 12]]), 0);
    for (
      let free = 6;
      queue.size > 0 && queue.pop((item) => queue.mayTake(item, free, 0)) !== null;
      free -= 1
    ) {
      queue.noteTaken();
      taken += 1;
    }
  }
  t.ok(taken > 200 && taken < 400, `${taken / 200} of 6 slots, a quarter is 1.5`);
  const calm = createQueue([createRequest(1)]);
  calm.noteReport(500, new Map(), 0);
  t.ok(
    calm.mayTake(createRequest(1), 0.5, 0),
    "without waiting requests elsewhere every free slot may be taken",
  );
  t.notOk(calm.mayTake(createRequest(1), 0, 0));
  t.end();
});
