// Bundles each program in bin/ into dist/, so that a program starts without a compile step.
import { readdirSync, rmSync } from "node:fs";
import { build } from "esbuild";
import { bundleOptions } from "./bundleOptions.mjs";

rmSync("dist", { recursive: true, force: true });
await build({
  ...bundleOptions,
  entryPoints: readdirSync("bin")
    .filter((name) => name.endsWith(".ts"))
    .map((name) => `bin/${name}`),
  outdir: "dist",
  splitting: true,
  chunkNames: "chunks/[name]-[hash]",
});
