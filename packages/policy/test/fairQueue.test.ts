import fc from "fast-check";
import t from "tap";
import { RequestClass } from "@clementinemux/common/RequestClass";
import { FairQueue } from "@clementinemux/policy/admission/FairQueue";
import type { FairQueueItem } from "@clementinemux/policy/admission/FairQueueItem";

const weights = { [RequestClass.Important]: 16, [RequestClass.Standard]: 4, [RequestClass.Bulk]: 1 };

function createItem(team: string, requestClass = RequestClass.Standard, costMs = 100): FairQueueItem {
  return { requestClass, classWeight: weights[requestClass], team, teamWeight: 1, costMs };
}

function popMany(queue: FairQueue<FairQueueItem>, count: number): FairQueueItem[] {
  return Array.from({ length: count }, () => queue.pop(() => true)).filter((item) => item !== null);
}

// Guards against a team that floods its class and delays the other teams.
t.test("flood delays only its own team", (t) => {
  const queue = new FairQueue<FairQueueItem>();
  for (let index = 0; index < 100; index += 1) {
    queue.push(createItem("flood"));
  }
  queue.push(createItem("small"));
  t.ok(popMany(queue, 2).some(({ team }) => team === "small"));
  t.end();
});

// Guards against a class that gets more than its weight by having many teams or long requests.
t.test("classes are served by weight", (t) => {
  const queue = new FairQueue<FairQueueItem>();
  for (let index = 0; index < 200; index += 1) {
    queue.push(createItem("i", RequestClass.Important));
    queue.push(createItem(`b${index}`, RequestClass.Bulk, 400));
    queue.push(createItem("s"));
  }
  const served = popMany(queue, 100);
  const getCost = (wanted: RequestClass): number =>
    served.reduce((sum, { requestClass, costMs }) => (requestClass === wanted ? sum + costMs : sum), 0);
  const ratio = getCost(RequestClass.Important) / getCost(RequestClass.Standard);
  t.ok(ratio > 3.5 && ratio < 4.5, `important to standard ${ratio}, 4 by weight`);
  t.ok(getCost(RequestClass.Bulk) <= getCost(RequestClass.Important) / 16 + 400);
  t.end();
});

// Guards against a blocked class that delays the others.
t.test("blocked head does not block other classes", (t) => {
  const queue = new FairQueue<FairQueueItem>();
  queue.push(createItem("b", RequestClass.Bulk));
  queue.push(createItem("i", RequestClass.Important));
  const item = queue.pop(({ requestClass }) => requestClass === RequestClass.Bulk);
  t.equal(item?.requestClass, RequestClass.Bulk);
  t.equal(queue.size, 1);
  t.end();
});

// Guards against items that are lost or served twice, and against a backlog that differs from the queued
// items.
t.test("every item is removed once", (t) => {
  const step = fc.record({
    team: fc.constantFrom("a", "b", "c"),
    requestClass: fc.constantFrom(...Object.values(RequestClass)),
    costMs: fc.integer({ min: 1, max: 500 }),
    action: fc.constantFrom("push", "push", "pushFront", "pop", "remove"),
  });
  const property = fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
    const queue = new FairQueue<FairQueueItem>();
    const queued = new Set<FairQueueItem>();
    for (const { team, requestClass, costMs, action } of steps) {
      const item = createItem(team, requestClass, costMs);
      const [oldest] = queued;
      if (action === "pop") {
        const popped = queue.pop(() => true);
        if (popped === null ? queued.size > 0 : !queued.delete(popped)) {
          return false;
        }
      } else if (action === "remove") {
        if (oldest !== undefined && !(queue.remove(oldest) && queued.delete(oldest))) {
          return false;
        }
      } else {
        queue.push(item, action === "pushFront");
        queued.add(item);
      }
    }
    const costMs = [...queued].reduce((sum, item) => sum + item.costMs, 0);
    return queue.size === queued.size && Math.abs(queue.costMs - costMs) < 1e-6;
  });
  fc.assert(property, { seed: 11, numRuns: 300 });
  t.end();
});
