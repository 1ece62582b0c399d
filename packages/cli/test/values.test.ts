import t from "tap";
import { ExitCode } from "@clementinemux/cli/ExitCode";
import { diffValues } from "@clementinemux/cli/diffValues";
import { parseDuration } from "@clementinemux/cli/parseDuration";
import { setValue } from "@clementinemux/cli/setValue";

// Guards against a misspelt field that is added without an error.
t.test("an unknown field is rejected with a list of the known ones", (t) => {
  t.same(setValue({ a: { b: 1 }, c: 2 }, ["a", "b"], 5), { a: { b: 5 }, c: 2 });
  t.throws(() => setValue({ a: { b: 1 } }, ["a", "x"], 5), { exitCode: ExitCode.Usage, message: /known: b/ });
  t.end();
});

// Guards against a change that `config diff` does not show.
t.test("differences name their paths", (t) => {
  t.same(diffValues({ a: { b: 1 }, c: [1] }, { a: { b: 2 }, c: [1], d: 3 }), [
    { path: "a.b", before: 1, after: 2 },
    { path: "d", before: undefined, after: 3 },
  ]);
  t.end();
});

// Guards against an exception that expires earlier or later than its author intended.
t.test("durations need a unit", (t) => {
  t.equal(parseDuration("90s"), 90_000);
  t.equal(parseDuration("7d"), 604_800_000);
  t.throws(() => parseDuration("90"), { exitCode: ExitCode.Usage, message: /not a duration/ });
  t.end();
});
