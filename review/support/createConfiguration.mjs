/**
 * Creates a configuration with one service and a route to it.
 *
 * @param version - the version, a number
 * @param options - fields of the route and of the service that differ from the usual ones
 * @returns the body of the call
 */
export default function createConfiguration(version, { route = {}, service = {} } = {}) {
  return JSON.stringify({
    version: version.toString(16).padStart(8, '0'),
    routes: {
      'r-lids': {
        host: 'lids.example',
        path_prefix: '/lids/',
        route_type: 'safe',
        timeout_s: 2,
        target_latency_s: 0.4,
        priority: 1,
        service: 'stockdesk',
        max_attempts: 2,
        allowed_regions: [],
        ...route,
      },
    },
    services: {
      stockdesk: {
        health_check_path: '/health',
        max_connections: 260,
        protocol: 'h1',
        tls: false,
        warmup_s: 3,
        warmup_per_s: 9.2,
        ...service,
      },
    },
    limits: {
      max_header_bytes: 16384, max_body_bytes: 67108864, header_timeout_s: 3, idle_timeout_s: 15,
    },
  });
}
