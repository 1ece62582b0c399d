/** A valid configuration of one application for lookups; `fields` override those of the document. */
export function createLookupConfig(version: number, fields: object = {}): object {
  const route = {
    name: "r-lookup",
    host: "app.example",
    path_prefix: "/stock/",
    kind: "idempotent",
    timeout_ms: 4000,
    slo_ms: 386,
    priority: 1,
    service: "patio",
    attempts: 2,
    public: false,
  };
  return {
    version,
    routes: [route],
    services: [{ name: "patio", health_path: "/health", max_conns: 238, protocol: "h1", tls: false }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: "team-a", api_keys: ["key-a"], priority: 1 }],
    ...fields,
  };
}
