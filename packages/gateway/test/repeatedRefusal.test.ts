import t from "tap";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import { createDocument } from "../../routes/test/createDocument";
import { TestTarget } from "./TestTarget";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

const nonIdempotent = { kind: RouteKind.NonIdempotent, attempts: 2 };

/** Refusals that name no request, or one that has ended. */
const refusals: Readonly<Record<string, string>> = {
  "421 without an id": "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n",
  "421 with the id of an earlier request":
    "HTTP/1.1 421 Misdirected Request\r\nx-id: r1\r\ncontent-length: 0\r\n\r\n",
  "503 with the id of an earlier request": responses.notRun("r1"),
};

// Guards against callers that are told 'not run' for a request that runs, and against a second run elsewhere.
for (const [name, refusal] of Object.entries(refusals)) {
  t.test(`a repeated refusal on a kept connection is no refusal of the next request: ${name}`, async (t) => {
    const target = new TestTarget(({ id }, socket) => {
      socket.write(id === "r1" ? responses.whole(id, "first") : refusal + responses.whole(id, "second"));
    });
    const { call, stop } = await startGateway(createDocument(1, [nonIdempotent]), [target]);
    t.equal((await call({ path: "/p0/", method: "POST" }, "r1", "x")).status, 200);
    const { status } = await call({ path: "/p0/", method: "POST" }, "r2", "x");
    t.equal(status, 502, "it may have run");
    t.equal(target.requests.length, 2, "sent once");
    await stop();
  });
}

// Guards against a misdirected request that fails although another target could run it.
t.test("a refusal without an id on a new connection is one", async (t) => {
  let sends = 0;
  const targets = [0, 1].map(
    () =>
      new TestTarget(({ id }, socket) => {
        sends += 1;
        socket.write(sends === 1 ? (refusals["421 without an id"] ?? "") : responses.whole(id, "second"));
      }),
  );
  const { call, stop } = await startGateway(createDocument(1, [nonIdempotent]), targets);
  t.equal((await call({ path: "/p0/", method: "POST" }, "r1", "x")).status, 200);
  t.equal(sends, 2);
  await stop();
});
