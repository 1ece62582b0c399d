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

// Guards against a team that floods its class and delays the others.
t.test("flood delays its own team only", (t) => {
  const queue = new FairQueue<FairQueueItem>();
  for (let index = 0; index < 100; index += 1) {
    queue.push(createItem("flood"));
  }
  queue.push(createItem("small"));
  t.ok(popMany(queue, 2).some(({ team }) => team === "small"));
  t.end();
});

// Guards against a class with many teams or long requests taking more than its weight.
t.test("classes share by weight", (t) => {
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

// Guards against a blocked class that holds up the others.
t.test("blocked head lets other classes pass", (t) => {
  const queue = new FairQueue<FairQueueItem>();
  queue.push(createItem("b", RequestClass.Bulk));
  queue.push(createItem("i", RequestClass.Important));
  const item = queue.pop(({ requestClass }) => requestClass === RequestClass.Bulk);
  t.equal(item?.requestClass, RequestClass.Bulk);
  t.equal(queue.size, 1);
  t.end();
});

// Guards against items lost or served twice, and a backlog that drifts from the items queued.
t.test("every item leaves once", (t) => {
  const step = fc.record({
    team: fc.constantFrom("a", "b", "c"),
    requestClass: fc.constantFrom(...Object.values(RequestClass)),
    costMs: fc.integer({ min: 1, max: 500 }),
    action: fc.constantFrom("push", "push", "pushFront", "pop", "remove"),
  });
  const property = fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
    const queue = new FairQueue<FairQueueItem>();
    const held = new Set<FairQueueItem>();
    for (const { team, requestClass, costMs, action } of steps) {
      const item = createItem(team, requestClass, costMs);
      const [oldest] = held;
      if (action === "pop") {
        const popped = queue.pop(() => true);
        if (popped === null ? held.size > 0 : !held.delete(popped)) {
          return false;
        }
      } else if (action === "remove") {
        if (oldest !== undefined && !(queue.remove(oldest) && held.delete(oldest))) {
          return false;
        }
      } else {
        queue.push(item, action === "pushFront");
        held.add(item);
      }
    }
    const costMs = [...held].reduce((sum, item) => sum + item.costMs, 0);
    return queue.size === held.size && Math.abs(queue.costMs - costMs) < 1e-6;
  });
  fc.assert(property, { seed: 11, numRuns: 300 });
  t.end();
});
