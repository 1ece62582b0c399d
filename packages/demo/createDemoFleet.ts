import { join } from "node:path";

interface DemoProcess {
  readonly program: string;
  readonly name: string;
  readonly settings: Readonly<Record<string, unknown>>;
}

interface DemoFleet {
  readonly processes: readonly DemoProcess[];
  readonly entryUrls: readonly string[];
  /** URLs of the operator API. */
  readonly controlUrls: readonly string[];
  readonly serviceUrl: string;
}

const host = "127.0.0.1";
const region = "local";
const controlCount = 3;
const engineCount = 4;
const entryCount = 2;

/**
 * Lists the processes of the demo and their settings. Data folders are below `folder`; ports are assigned in
 * order.
 */
export function createDemoFleet(folder: string, tokensFile: string, ports: readonly number[]): DemoFleet {
  let usedPortCount = 0;
  const takePort = (): number => {
    usedPortCount += 1;
    return ports[usedPortCount - 1] ?? 0;
  };
  const controls = Array.from({ length: controlCount }, (_, index) => ({
    name: `control-${index + 1}`,
    port: takePort(),
    apiPort: takePort(),
    failureDomain: `fd-${index + 1}`,
  }));
  const relays = controls.map(({ port }) => `${host}:${port}`);
  const entries = Array.from({ length: entryCount }, (_, index) => ({
    name: `entry-${index + 1}`,
    ...{ host, port: takePort(), failureDomain: `fd-${index + 1}`, region, relays, anonymousTeam: "demo" },
  }));
  const engines = Array.from({ length: engineCount }, (_, index) => ({
    name: `engine-${index + 1}`,
    settings: { host, port: takePort(), models: ["demo"], tokenIntervalMs: 10, firstTokenMs: 30 },
    agent: {
      ...{ target: `runner-${index + 1}`, host, port: takePort(), failureDomain: `fd-${(index % 2) + 1}` },
      ...{ region, kind: "engine", models: ["demo"], relays },
    },
  }));
  const servicePort = takePort();
  const serviceAgent = {
    ...{ target: "orders-1", host, port: takePort(), failureDomain: "fd-1", region, relays },
    ...{ kind: "service", service: "orders", targetAddress: `${host}:${servicePort}` },
  };
  return {
    processes: [
      ...controls.map(({ name, ...rest }) => ({
        program: "clementinemux-control",
        name,
        settings: {
          ...{ name, host, ...rest, region, dataFolder: join(folder, name) },
          ...{ replicas: relays, bootstrap: true, tokensFile },
        },
      })),
      ...engines.map(({ name, settings }) => ({ program: "standin-engine", name, settings })),
      {
        program: "standin-service",
        name: "service-1",
        settings: { host, port: servicePort, executionMs: 20 },
      },
      ...engines.map(({ settings, agent }) => ({
        program: "clementinemux-agent",
        name: `agent-${agent.target}`,
        settings: { ...agent, targetAddress: `${host}:${settings.port}` },
      })),
      { program: "clementinemux-agent", name: "agent-orders-1", settings: serviceAgent },
      ...entries.map((settings) => ({ program: "clementinemux-entry", name: settings.name, settings })),
    ],
    entryUrls: entries.map(({ port }) => `http://${host}:${port}`),
    controlUrls: controls.map(({ apiPort }) => `http://${host}:${apiPort}`),
    serviceUrl: `http://${host}:${servicePort}`,
  };
}
