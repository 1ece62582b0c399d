import t from "tap";
import { request as requestHttp } from "undici";
import { createDefaultConfig } from "@clementinemux/fleet/createDefaultConfig";
import { startFleet } from "./startFleet";

const { defaults } = createDefaultConfig();
const headBytes = 69;
const cutStep = 11;
const maxCalls = 50;

// Guards against a 200 with an empty or short body, or a second execution, after a target stopped within its head.
for (const repeatable of [true, false]) {
  t.test(`a head that is cut off, of a call that is ${repeatable ? "" : "not "}repeatable`, async (t) => {
    const services = { orders: { repeatable, timeoutMs: 2000, keyRequired: false } };
    for (let cutAt = 0; cutAt <= headBytes; cutAt += cutStep) {
      const fleet = await startFleet({ serviceCount: 2, defaults: { ...defaults, services } });
      const [faulty] = fleet.services;
      const url = `${fleet.urls[0] ?? ""}/services/orders/place`;
      if (faulty !== undefined) {
        faulty.cutHeadAt = cutAt;
      }
      let call = 0;
      let status = 0;
      while (faulty?.cutHeadAt !== null && call < maxCalls) {
        call += 1;
        const reply = await requestHttp(url, { method: "POST", body: `lot ${call}` });
        const text = await reply.body.text();
        status = reply.statusCode;
        t.ok(status !== 200 || text.includes(`"key":"lot ${call}"`), "a success is whole");
      }
      t.equal(faulty?.cutHeadAt, null, "the fault was played");
      t.equal(status, repeatable ? 200 : 502, `cut after ${cutAt} bytes`);
      const runs = fleet.services.map(({ executions }) => executions.get(`lot ${call}`) ?? 0);
      t.same([...runs].sort(), repeatable ? [1, 1] : [0, 1]);
      await fleet.stop();
    }
  });
}
