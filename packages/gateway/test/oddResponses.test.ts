import t from "tap";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import { createDocument } from "../../routes/test/createDocument";
import { TestTarget } from "./TestTarget";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

const { whole, streamHead, chunk, event, streamEnd } = responses;
const document = createDocument(1, [
  { kind: RouteKind.Idempotent, attempts: 3 },
  { kind: RouteKind.NonIdempotent, attempts: 3 },
  { kind: RouteKind.Streaming, canResume: true, attempts: 3, timeoutMs: 5000 },
]);
/** Changes to a response that Node's parser accepts, but that make it invalid. */
const spoiled: Readonly<Record<string, (response: string) => string>> = {
  "status 000": (response) => response.replace(" 200 ", " 000 "),
  "status 001": (response) => response.replace(" 200 ", " 001 "),
  "status 099": (response) => response.replace(" 200 ", " 099 "),
  "status 600": (response) => response.replace(" 200 ", " 600 "),
  "status 999": (response) => response.replace(" 200 ", " 999 "),
  "status 999 of HTTP/1.0": (response) => response.replace("HTTP/1.1 200 ", "HTTP/1.0 999 "),
  "a space in a header's name": (response) => response.replace("\r\n\r\n", "\r\ncontent type: a\r\n\r\n"),
  "a space at the end of a header's name": (response) => response.replace("\r\n\r\n", "\r\nx-a : a\r\n\r\n"),
};

// Guards against one spoiled response that ends the gateway, with the requests of all its callers (review/4).
for (const [name, spoil] of Object.entries(spoiled)) {
  t.test(`a response with ${name} is a failure of its target`, async (t) => {
    let isSpoiled = false;
    const targets = [0, 1].map(
      () =>
        new TestTarget(({ id, head }, socket) => {
          const isStream = head.startsWith("POST /p2/");
          const response = isStream ? streamHead(id) + chunk(event(1)) + streamEnd : whole(id, "ok");
          const isFirst = isSpoiled && id.startsWith("odd");
          isSpoiled &&= !isFirst;
          const send = (): void => {
            socket.write(isFirst ? spoil(response) : response);
          };
          // Requests of other callers are in work while the spoiled response arrives.
          setTimeout(send, id.startsWith("other") ? 150 : 20);
        }),
    );
    const { call, stop } = await startGateway(document, targets);
    for (const [at, expected] of [
      [0, { status: 200, body: "ok", isComplete: true }],
      [1, { status: 502 }],
      [2, { status: 200, body: event(1), isComplete: true }],
    ] as const) {
      const others = [1, 2, 3].map((other) =>
        call({ path: "/p1/", method: "POST" }, `other-${at}-${other}`, "x"),
      );
      isSpoiled = true;
      t.match(await call({ path: `/p${at}/`, method: "POST" }, `odd-${at}`, "x"), expected);
      const runs = targets.flatMap(({ requests }) => requests).filter(({ id }) => id === `odd-${at}`);
      t.equal(runs.length, at === 1 ? 1 : 2, "sent once more only if it may be repeated");
      for (const { status, body } of await Promise.all(others)) {
        t.same([status, body], [200, "ok"]);
      }
    }
    await stop();
  });
}
