/** A small configuration as the operator sends it. `tenants` replaces its tenants. */
export function createConfig(
  version: number,
  tenants: readonly object[] = [{ name: "team-a", api_keys: ["key-a"], priority: 1 }],
): object {
  return {
    version,
    routes: [
      {
        name: "r-lookup",
        host: "shop.example",
        path_prefix: "/lookup/",
        kind: "idempotent",
        timeout_ms: 4000,
        slo_ms: 500,
        priority: 2,
        service: "stock",
        attempts: 2,
        public: false,
      },
      {
        name: "r-letter",
        host: "shop.example",
        path_prefix: "/letter/",
        kind: "streaming",
        timeout_ms: 8000,
        slo_ms: 500,
        priority: 1,
        service: "stock",
        attempts: 2,
        public: false,
        sticky: true,
        can_resume: true,
        gap_slo_ms: 120,
      },
    ],
    services: [{ name: "stock", health_path: "/health", max_conns: 238, protocol: "h1", tls: false }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants,
  };
}
