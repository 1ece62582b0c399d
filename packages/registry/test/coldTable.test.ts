import t from "tap";
import { ColdTable } from "@clementinemux/registry/ColdTable";
import { TargetRegistry } from "@clementinemux/registry/TargetRegistry";
import { createTargetRecord } from "../../control/test/createTargetRecord";

const target = { id: "t-1", bornMs: 1, sequence: 1 };

// Guards against a statement that comes late by another way and makes a target warm or cold again.
t.test("the newest heartbeat counts, and the time is counted down", (t) => {
  const table = new ColdTable();
  t.ok(table.note({ ...target, leftMs: 2000 }, 1000));
  t.equal(table.getLeftMs(target, 1500), 1500);
  t.equal(table.getLeftMs({ ...target, bornMs: 2 }, 1500), 0, "another incarnation");
  t.notOk(table.note({ ...target, sequence: 2, leftMs: 1000 }, 2000), "as counted down");
  t.notOk(table.note({ ...target, leftMs: 9000 }, 2100), "older");
  t.equal(table.getLeftMs(target, 2500), 500);
  t.notOk(table.note({ ...target, sequence: 2, leftMs: 1000 }, 2400), "the same heartbeat, later");
  t.equal(table.getLeftMs(target, 2500), 500);
  t.ok(table.note({ ...target, sequence: 3, leftMs: 2000 }, 2500), "cold for longer");
  t.ok(table.note({ ...target, sequence: 4, leftMs: 0 }, 2600), "warm before its time");
  t.same(table.list(2600), [{ ...target, sequence: 4, leftMs: 0 }], "told to the others");
  t.notOk(table.note({ ...target, sequence: 3, leftMs: 2000 }, 2700), "older");
  t.equal(table.count(2700), 0);
  t.same(table.list(9000), []);
  t.ok(table.isEmpty);
  t.end();
});

// Guards against lists of all targets that are sent to every gateway whenever a target becomes cold.
t.test("a target that becomes cold changes the list of cold targets only", (t) => {
  const registry = new TargetRegistry();
  const record = createTargetRecord({ sequence: 1 });
  registry.put({ ...record, coldLeftMs: 0 }, 1000);
  const { lastChangeNumber, lastColdChangeNumber } = registry;
  registry.put({ ...record, sequence: 2, coldLeftMs: 2000 }, 2000);
  t.equal(registry.lastChangeNumber, lastChangeNumber);
  t.equal(registry.lastColdChangeNumber, lastColdChangeNumber + 1);
  t.same(registry.listCold(2500), [{ id: "t-1", bornMs: 1, sequence: 2, leftMs: 1500 }]);
  registry.put({ ...record, sequence: 3 }, 3000);
  t.equal(registry.getColdLeftMs(record, 3000), 1000, "a heartbeat that does not state it");
  t.equal(registry.countCold(4000), 0);
  t.end();
});
