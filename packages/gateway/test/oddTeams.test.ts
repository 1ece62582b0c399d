import t from "tap";
import { createDocument } from "../../routes/test/createDocument";
import { TestTarget } from "./TestTarget";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

const names = ["\u2019", "\u{1f600}", "\u00e9", "\u65e5\u672c", "\u00e2\u0080\u0099", "plain"];
const unusable = ["a\nb", "a\r\nx-id: r0", "\u0000", "\u007f"];
const document = {
  ...createDocument(1),
  teams: [...names, ...unusable].map((name, at) => ({ name, keys: [`key-${at}`], priority: null })),
};

// Guards against a name outside Latin-1 that ends the gateway, and against two names that a target cannot tell apart.
t.test("a target gets the name of the team in UTF-8", async (t) => {
  const target = new TestTarget(({ id }, socket) => socket.write(responses.whole(id, "ok")));
  const { call, stop } = await startGateway(document, [target]);
  for (const at of names.keys()) {
    t.equal((await call({ path: "/p0/", headers: { "x-key": `key-${at}` } }, `r${at}`)).status, 200);
  }
  const sent = target.requests.map(({ head }) => /x-team: (.*)/.exec(head)?.[1] ?? "");
  t.same(
    sent.map((text) => Buffer.from(text, "latin1").toString("utf8")),
    names,
  );
  await stop();
});

// Guards against a held document of an earlier release whose name of one team ends the requests of the others.
t.test("a team whose name no header can carry gets 503, the others are served", async (t) => {
  const target = new TestTarget(({ id }, socket) => socket.write(responses.whole(id, "ok")));
  const { gateway, call, stop } = await startGateway(document, [target]);
  for (const at of unusable.keys()) {
    const headers = { "x-key": `key-${names.length + at}` };
    t.equal((await call({ path: "/p0/", headers }, `o${at}`)).status, 503);
    t.equal((await call({ path: "/p0/", headers: { "x-key": "key-5" } }, `r${at}`)).status, 200);
  }
  t.equal(target.requests.length, unusable.length, "nothing of theirs was sent");
  t.match(gateway.renderMetrics(), `clementinemux_gateway_ends{end="unusable_team"} ${unusable.length}\n`);
  await stop();
});
