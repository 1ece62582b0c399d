import t from "tap";
import { findResponseFault } from "@clementinemux/wire/findResponseFault";

// Guards against statuses that no caller can interpret, at the gateway, the entry and the agent alike.
t.test("a final status is one of 200 to 599", (t) => {
  for (const statusCode of [0, 1, 99, 100, 199, 600, 999, 2000]) {
    t.equal(findResponseFault({ statusCode, rawHeaders: [] }), `Invalid status ${statusCode}`);
  }
  for (const statusCode of [200, 204, 304, 421, 500, 599]) {
    t.equal(findResponseFault({ statusCode, rawHeaders: [] }), null);
  }
  t.end();
});
