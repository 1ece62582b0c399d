import t from "tap";
import { RequestClass } from "@clementinemux/common/RequestClass";
import type { FleetException } from "@clementinemux/fleet/FleetException";
import { createDefaultConfig } from "@clementinemux/fleet/createDefaultConfig";
import { getTeamSettings } from "@clementinemux/policy/getTeamSettings";

const subject = { team: "a", model: "m", service: "", region: "r" };

function createException(
  id: string,
  selector: FleetException["selector"],
  override: FleetException["override"],
): FleetException {
  return { id, reason: "test", author: "t", createdAtMs: 0, expiresAtMs: null, selector, override };
}

function getSettings(...exceptions: FleetException[]): ReturnType<typeof getTeamSettings> {
  return getTeamSettings({ ...createDefaultConfig(), exceptions }, subject);
}

// Guards against a broad exception that overrides a narrow one because it is listed later.
t.test("narrower exception takes precedence", (t) => {
  const narrow = createException("1", { team: "a", model: "m" }, { requestsPerS: 5 });
  const broad = createException("2", { team: "a" }, { requestsPerS: 7, weight: 3 });
  const settings = getSettings(narrow, broad);
  t.match(settings, { requestsPerS: 5, teamWeight: 3, exceptionIds: ["2", "1"] });
  t.end();
});

// Guards against applying an exception of another team or of a group.
t.test("exceptions with other selectors have no effect", (t) => {
  const other = createException("1", { team: "b" }, { requestClass: RequestClass.Important });
  const group = createException("2", { group: "g" }, { requestClass: RequestClass.Important });
  t.equal(getSettings(other, group).requestClass, RequestClass.Standard);
  t.end();
});

// Guards against an exception that changes the class but keeps the deadline of the previous class.
t.test("class exception sets the deadline of the class", (t) => {
  const important = createException("1", { team: "a" }, { requestClass: RequestClass.Important });
  t.match(getSettings(important), { requestClass: RequestClass.Important, deadlineMs: 30_000 });
  t.end();
});
