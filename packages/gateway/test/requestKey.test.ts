import t from "tap";
import type { RoutedRequest } from "@clementinemux/gateway/RoutedRequest";
import { getRequestKey } from "@clementinemux/gateway/getRequestKey";

interface KeyInput {
  readonly team: string | null;
  readonly service: string;
  readonly model: string | null;
  readonly method: string;
  readonly url: string;
  readonly body: string;
}

const input: KeyInput = {
  ...{ team: "team-a", service: "app", model: "m", method: "POST", url: "/a/b?c=1", body: "text" },
};

function getKey(changes: Partial<KeyInput> = {}, caller: object = {}): string {
  const { team, service, model, method, url, body } = { ...input, ...changes };
  const routed = {
    request: { method, url },
    caller: { model, ...caller },
    body: Buffer.from(body),
    service: { name: service },
    team,
  };
  return getRequestKey(routed as unknown as RoutedRequest);
}

// Guards against two different requests that count as one, so that the sound one is refused.
t.test("each field that makes a request another one changes its key", (t) => {
  const others: Partial<KeyInput>[] = [
    ...[{ team: "team-b" }, { team: null }, { service: "app2" }, { model: "n" }, { model: null }],
    ...[{ method: "GET" }, { url: "/a/b?c=2" }, { url: "/a/b" }, { body: "text2" }, { body: "" }],
    ...[{ team: "team-a\\n" }, { team: 'team-a","x' }],
  ];
  const keys = new Set([getKey(), ...others.map((changes) => getKey(changes))]);
  t.equal(keys.size, others.length + 1);
  t.end();
});

// Guards against fields that flow into each other, so that a caller could build the key of another one's request.
t.test("moving bytes from one field to the next changes the key", (t) => {
  t.not(getKey({ url: "/a", body: "b" }), getKey({ url: "/ab", body: "" }));
  t.not(getKey({ method: "POST", url: "T/a" }), getKey({ method: "POSTT", url: "/a" }));
  t.not(getKey({ url: '/a"]\\ntext', body: "" }), getKey({ url: "/a", body: 'text"]' }));
  t.end();
});

// Guards against a repeat that is not recognized.
t.test("the id of the attempt, its deadline, API key and position do not change the key", (t) => {
  const caller = { requestId: "r2", leftMs: 17, key: "key-b", resumeAfter: "12", promptTokens: 3 };
  t.equal(getKey({}, caller), getKey({}, { requestId: "r1", leftMs: 4000, key: "key-a" }));
  t.match(getKey(), /^request\/[\w-]{22}$/);
  t.end();
});

// Guards against a body of megabytes that holds up the streams of its gateway.
t.test("the key of a body of 4 MB takes less than the time between two events", (t) => {
  const body = "x".repeat(4_194_304);
  // Processor time: on a busy machine the process also waits for a processor, whatever the key costs.
  const startedAt = process.cpuUsage();
  getKey({ body });
  const { user: userUs, system: systemUs } = process.cpuUsage(startedAt);
  const tookMs = (userUs + systemUs) / 1000;
  t.ok(tookMs < 100, `${tookMs.toFixed(1)} ms of processor time`);
  t.end();
});
