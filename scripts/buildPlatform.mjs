// Bundles the programs of platform/bin into target/, one file each, so that a start reads a single file.
import { readdirSync, rmSync } from "node:fs";
import { build } from "esbuild";
import { bundleOptions } from "./bundleOptions.mjs";

rmSync("target", { recursive: true, force: true });
await build({
  ...bundleOptions,
  entryPoints: readdirSync("platform/bin").map((name) => `platform/bin/${name}`),
  outdir: "target",
  minify: true,
  keepNames: true,
  sourcemap: false,
});
