import t from "tap";
import * as z from "zod";
import { parseSettings } from "@clementinemux/settings/parseSettings";

const schema = z.strictObject({
  port: z.number().int().min(1).max(65_535),
  leaseMs: z.number().int().min(100).max(10_000).default(4000),
  nested: z.strictObject({ name: z.string() }).optional(),
});

function getMessages(text: string): string[] {
  return parseSettings("x.jsonc", text, schema).caseOf({
    Left: (errors) => errors.map(({ message }) => message),
    Right: () => [],
  });
}

// Guards against comments that are rejected, and against defaults that are not applied.
t.test("comments are accepted and defaults applied", (t) => {
  const settings = parseSettings("x.jsonc", '{ // public port\n "port": 80, }', schema);
  t.same(settings.extract(), { port: 80, leaseMs: 4000 });
  t.end();
});

// Guards against errors that do not say where the problem is and how to fix it.
t.test("error names line, field, unit and range", (t) => {
  const [message] = getMessages('{\n  "port": 80,\n  "leaseMs": 5\n}');
  t.match(message, /^x\.jsonc:3: leaseMs: .*allowed 100 to 10000, unit milliseconds/);
  t.end();
});

// Guards against misspelt fields that are silently ignored.
t.test("unknown and duplicate fields are errors", (t) => {
  t.match(getMessages('{ "port": 80,\n "prot": 1 }'), [/^x\.jsonc:2: prot: unknown field/]);
  t.match(getMessages('{ "port": 80, "nested": { "name": "a",\n "name": "b" } }'), [
    /:2: nested\.name: field is given twice/,
  ]);
  t.end();
});

// Guards against starting with a file that is not JSON.
t.test("syntax error names its line", (t) => {
  t.match(getMessages('{\n "port" 80 }'), [/^x\.jsonc:2: /]);
  t.end();
});
