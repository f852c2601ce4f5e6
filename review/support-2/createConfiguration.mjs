/** @returns a configuration with a safe and an unsafe route to each service */
export default function createConfiguration(
  version,
  services,
  { timeoutS = 5, maxAttempts = 2, targetLatencyS = 0.8 } = {},
) {
  const route = (path, type, service) => ({
    host: 'site.example',
    path_prefix: path,
    route_type: type,
    timeout_s: timeoutS,
    target_latency_s: targetLatencyS,
    priority: 1,
    service,
    max_attempts: maxAttempts,
    allowed_regions: [],
  });
  return {
    version: version.toString(16).padStart(8, '0'),
    routes: Object.fromEntries(services.flatMap((service) => [
      [`read-${service}`, route(`/read-${service}/`, 'safe', service)],
      [`write-${service}`, route(`/write-${service}/`, 'unsafe', service)],
    ])),
    services: Object.fromEntries(services.map((service) => [service, {
      health_check_path: '/health', max_connections: 260, protocol: 'h1', tls: false, warmup_s: 3, warmup_per_s: 9.2,
    }])),
    limits: {
      max_header_bytes: 16384, max_body_bytes: 67108864, header_timeout_s: 3, idle_timeout_s: 15,
    },
  };
}
