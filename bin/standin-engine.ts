import * as z from "zod";
import { startFromSettings } from "@clementinemux/settings/startFromSettings";
import { EngineServer } from "@clementinemux/standins/engine/EngineServer";

const EngineSettings = z.strictObject({
  host: z.string().default("127.0.0.1"),
  port: z.number().int().min(1).max(65_535),
  models: z.array(z.string()),
  tokenIntervalMs: z.number().min(0).max(60_000),
  firstTokenMs: z.number().min(0).max(60_000),
});

startFromSettings("standin-engine", EngineSettings, async (settings) => {
  await new EngineServer(settings).listen();
});
