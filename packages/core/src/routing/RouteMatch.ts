import type Service from '../types/Service';

/** The service of a request and the regions it may be served in. */
interface RouteMatch {
  readonly routeName: string;
  readonly serviceName: string;
  readonly service: Service;
  /** The only regions that may serve the request; undefined where every region may. */
  readonly homeRegions: readonly string[] | undefined;
}

export default RouteMatch;
