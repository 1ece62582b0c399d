import type { Socket } from "node:net";
import t from "tap";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import { createDocument } from "../../routes/test/createDocument";
import { TestTarget } from "./TestTarget";
import { rankService } from "./rankService";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

/** Targets reject this many requests, after which the group has recovered. */
const rejections = 2;

// Guards against a request that runs twice, or is rejected although it has run. Once its group has recovered,
// the request goes to the same target again under the same id, and a late copy of that target's earlier
// rejection has this id as well.
t.test("a late copy of a rejection is not taken for the response to the next attempt", async (t) => {
  const copies = new Map<Socket, string>();
  let left = rejections;
  const runs: string[] = [];
  const targets = [0, 1].map(
    () =>
      new TestTarget(({ id }, socket) => {
        const copy = copies.get(socket) ?? "";
        if (id !== "warm" && left > 0) {
          left -= 1;
          copies.set(socket, responses.notRun(id));
          socket.write(responses.notRun(id));
          return;
        }
        runs.push(id);
        socket.write(copy + responses.whole(id, `for ${id}`));
      }),
  );
  const document = createDocument(1, [{ kind: RouteKind.NonIdempotent, timeoutMs: 8000, attempts: 6 }]);
  const { call, stop } = await startGateway({ ...document, services: [rankService] }, targets);
  t.teardown(stop);
  await call({ path: "/p0/", headers: { "x-left": "8000" } }, "warm");
  const { status } = await call({ path: "/p0/", method: "POST", headers: { "x-left": "7000" } }, "r1", "x");
  const count = runs.filter((id) => id === "r1").length;
  t.ok(count <= 1, `ran ${count} times`);
  t.ok(count === 0 || status !== 503, `answered ${status}`);
});

// Guards against a request that runs twice because a second copy of another request's rejection counts as its
// response.
t.test(
  "a late copy of a misdirected response to another request is not taken for the response",
  async (t) => {
    const copies = new Map<Socket, string>();
    let isMisdirected = true;
    const runs: string[] = [];
    const targets = [0, 1].map(
      () =>
        new TestTarget(({ id }, socket) => {
          if (isMisdirected) {
            isMisdirected = false;
            copies.set(socket, responses.whole(id, "", "421 Misdirected Request"));
            socket.write(copies.get(socket) ?? "");
            return;
          }
          runs.push(id);
          socket.write((copies.get(socket) ?? "") + responses.whole(id, `for ${id}`));
        }),
    );
    const document = createDocument(1, [{ kind: RouteKind.NonIdempotent, timeoutMs: 8000, attempts: 3 }]);
    const { call, stop } = await startGateway(document, targets);
    t.teardown(stop);
    for (let request = 0; request < 8; request += 1) {
      const id = `r${request}`;
      await call({ path: "/p0/", method: "POST", headers: { "x-left": "7000" } }, id, "x");
      const count = runs.filter((run) => run === id).length;
      t.ok(count <= 1, `${id} ran ${count} times`);
    }
  },
);
