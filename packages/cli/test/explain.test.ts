import t from "tap";
import { findRequestTrace } from "@clementinemux/cli/findRequestTrace";
import { formatTrace } from "@clementinemux/cli/formatTrace";

function createLine(timeMs: number, message: string, context: object): string {
  return JSON.stringify({ context: { logLevel: 30, program: "p", ...context }, message, time: timeMs });
}

const lines = [
  createLine(9000, "map planned", { name: "c-1", presentSkew: 2 }),
  createLine(1000, "role changed", { name: "c-1", role: "leader" }),
  `12.5 gateway-1 ${createLine(10_100, "request ended", { name: "g-1", id: "r1", end: "answered", tookMs: 300 })}`,
  createLine(9900, "request sent", { name: "g-1", id: "r1", target: "t-1", attempt: 1 }),
  createLine(9950, "attempt failed", { name: "g-1", id: "r2", target: "t-2" }),
  createLine(9990, "order given", { name: "k-1", kind: "go" }),
  "Segmentation fault {not ours",
  "",
];

// Guards against lines that are missing or out of order because several processes wrote them.
t.test("the trace of a request is in order and includes fleet events", (t) => {
  const trace = findRequestTrace(lines.join("\n"), "r1");
  t.same(
    trace.map(({ event, isOwn }) => [event, isOwn]),
    [
      ["map planned", false],
      ["request sent", true],
      ["request ended", true],
    ],
  );
  const text = formatTrace(trace);
  t.match(text, /-900 +c-1 +map planned +presentSkew=2/);
  t.match(text, /\* +\+0 +g-1 +request sent +id=r1 target=t-1 attempt=1/);
  t.match(text, /\* +\+200 +g-1 +request ended/);
  t.end();
});

t.test("a request that no line names has no trace", (t) => {
  t.same(findRequestTrace(lines.join("\n"), "r9"), []);
  t.end();
});
