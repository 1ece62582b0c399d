import * as z from "zod";
import { startFromSettings } from "@clementinemux/settings/startFromSettings";
import { ServiceServer } from "@clementinemux/standins/service/ServiceServer";

const ServiceSettings = z.strictObject({
  host: z.string().default("127.0.0.1"),
  port: z.number().int().min(1).max(65_535),
  executionMs: z.number().min(0).max(60_000).default(0),
});

startFromSettings("standin-service", ServiceSettings, async (settings) => {
  await new ServiceServer(settings).listen();
});
