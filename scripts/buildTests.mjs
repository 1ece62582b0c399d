// Compiles every test file into build/tests/, with npm packages left as imports.
import { globSync } from "./globSync.mjs";
import { rmSync } from "node:fs";
import { build } from "esbuild";

rmSync("build/tests", { recursive: true, force: true });
const entryPoints = ["packages", "platform"].flatMap((folder) =>
  globSync(folder, (path) => path.endsWith(".test.ts")),
);
await build({
  entryPoints,
  outdir: "build/tests",
  outbase: ".",
  outExtension: { ".js": ".mjs" },
  bundle: true,
  format: "esm",
  platform: "node",
  target: "node20",
  sourcemap: "inline",
  logLevel: "warning",
  packages: "external",
  alias: { "@clementinemux": "./packages" },
});
