import t from "tap";
import { RouteTable } from "@clementinemux/routes/RouteTable";
import { chooseService } from "@clementinemux/routes/chooseService";
import { findDocumentError } from "@clementinemux/routes/findDocumentError";
import { createDocument } from "./createDocument";

t.test("the longest matching path prefix wins", (t) => {
  const table = new RouteTable(
    createDocument(1, [{ pathPrefix: "/" }, { pathPrefix: "/a/" }, { pathPrefix: "/a/b/" }]),
  );
  t.equal(table.findRoute("APP.test", "/a/b/c?x=/q/")?.name, "r-2");
  t.equal(table.findRoute("app.test", "/a/bc")?.name, "r-1", "a prefix ends at a slash");
  t.equal(table.findRoute("app.test", "/z")?.name, "r-0");
  t.equal(table.findRoute("other.test", "/a/"), null);
  t.equal(new RouteTable(createDocument(1, [{ pathPrefix: "/a/" }])).findRoute("app.test", "/?/a/"), null);
  t.end();
});

t.test("a split follows the weights and excludes services with weight 0", (t) => {
  const [route] = createDocument(1, [
    {
      split: [
        { service: "a", weight: 0 },
        { service: "b", weight: 3 },
        { service: "c", weight: 1 },
      ],
    },
  ]).routes;
  t.equal(
    chooseService(route!, () => 0),
    "b",
  );
  t.equal(
    chooseService(route!, () => 0.74),
    "b",
  );
  t.equal(
    chooseService(route!, () => 0.76),
    "c",
  );
  t.end();
});

t.test("invalid documents are rejected with the reason", (t) => {
  t.equal(findDocumentError(createDocument(1)), null);
  const faults: [Parameters<typeof createDocument>[1], RegExp][] = [
    [[{ split: [{ service: "nowhere", weight: 1 }] }], /unknown service/],
    [[{ split: [{ service: "app", weight: 0 }] }], /weights/],
    [[{ timeoutMs: 0 }], /timeout/],
    [[{ pathPrefix: "/x" }], /slash/],
    [[{ pathPrefix: "/x/" }, { pathPrefix: "/x/", host: "APP.test" }], /share host/],
  ];
  for (const [routes, pattern] of faults) {
    t.match(findDocumentError(createDocument(1, routes)), pattern);
  }
  const document = createDocument(1);
  const teams = [...(document.teams ?? []), { name: "team-b", keys: ["key-a"], priority: null }];
  t.match(findDocumentError({ ...document, teams }), /share a key/);
  t.end();
});

t.test("the strictest gap objective of a service applies", (t) => {
  const app = [{ service: "app", weight: 1 }];
  const table = new RouteTable(
    createDocument(1, [{}, { gapObjectiveMs: 150 }, { gapObjectiveMs: 120, split: app }]),
  );
  t.equal(table.getGapObjectiveMs("app"), 120);
  t.equal(table.getGapObjectiveMs("other"), 0);
  t.end();
});

t.test("demand is mixed where routes to one service differ in priority or objective", (t) => {
  const isMixed = (...routes: Parameters<typeof createDocument>[1] & object) =>
    new RouteTable(createDocument(1, routes)).hasMixedDemand("app");
  t.equal(isMixed({}, {}), false);
  t.equal(isMixed({}, { priority: 2 }), true);
  t.equal(isMixed({}, { objectiveMs: 1000 }), true);
  t.equal(isMixed({}, { priority: 2, split: [{ service: "other", weight: 1 }] }), false);
  t.end();
});
