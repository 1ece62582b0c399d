import { Agent } from "node:http";
import type { Socket } from "node:net";
import t from "tap";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import { createDocument } from "../../routes/test/createDocument";
import { TestTarget } from "./TestTarget";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

// Only a hanging test takes this long.
t.setTimeout(90_000);

const { whole, streamHead, chunk, event, streamEnd } = responses;
const document = createDocument(1, [
  { kind: RouteKind.Idempotent, attempts: 2 },
  { kind: RouteKind.NonIdempotent, attempts: 2 },
  { kind: RouteKind.Streaming, canResume: true, attempts: 2, timeoutMs: 5000 },
  { kind: RouteKind.Streaming, canResume: false, attempts: 2, timeoutMs: 5000 },
]);
const streamBody = event(1) + event(2);

/** The whole response of a request's kind; the head is what precedes the first empty line. */
function createResponse(path: string, id: string): string {
  return path.startsWith("/p0/") || path.startsWith("/p1/")
    ? whole(id, "whole")
    : streamHead(id) + chunk(event(1)) + chunk(event(2)) + streamEnd;
}

const endings: Readonly<Record<string, (socket: Socket) => void>> = {
  "an end": (socket) => socket.end(),
  "a reset": (socket) => socket.resetAndDestroy(),
};
/** Whether the gateway may send a request of the path once more. */
const repeatable: Readonly<Record<string, boolean>> = {
  "/p0/": true,
  "/p1/": false,
  "/p2/": true,
  "/p3/": false,
};
const cutStep = 5;

// Guards against a 200 with a short or empty body, and against a second run, after a target stopped within its head.
for (const [ending, end] of Object.entries(endings)) {
  for (const isKept of [false, true]) {
    t.test(`a head cut by ${ending}, on a ${isKept ? "kept" : "new"} connection`, async (t) => {
      const state = { cutAt: -1 };
      const targets = [0, 1].map(
        () =>
          new TestTarget(({ id, head }, socket) => {
            const path = head.split(" ")[1] ?? "";
            const response = createResponse(path, id);
            if (state.cutAt < 0) {
              socket.write(response);
              return;
            }
            socket.write(response.slice(0, state.cutAt));
            state.cutAt = -1;
            setTimeout(end, 5, socket);
          }),
      );
      const { call, stop } = await startGateway(document, targets);
      const agent = isKept ? new Agent({ keepAlive: true, maxSockets: 1 }) : false;
      const countRuns = (id: string): number =>
        targets.reduce(
          (sum, { requests }) => sum + requests.filter((request) => request.id === id).length,
          0,
        );
      for (const [path, isRepeatable] of Object.entries(repeatable)) {
        const headBytes = createResponse(path, "rrrr").indexOf("\r\n\r\n") + 3;
        for (let cutAt = 0; cutAt <= headBytes; cutAt += cutStep) {
          const id = `${path.slice(1, 3)}${cutAt}`;
          // Leaves connections to both targets that the next request may use.
          await Promise.all(
            [1, 2].map((index) => call({ path, method: "POST", agent }, `${id}-w${index}`, "x")),
          );
          state.cutAt = cutAt;
          const { status, body, isComplete } = await call({ path, method: "POST", agent }, id, "x");
          const expected = path === "/p0/" ? "whole" : streamBody;
          if (isRepeatable) {
            t.same({ status, body, isComplete }, { status: 200, body: expected, isComplete: true }, id);
          } else {
            t.equal(status, 502, `${id} may have run`);
            t.equal(countRuns(id), 1);
          }
        }
      }
      await stop();
    });
  }
}
