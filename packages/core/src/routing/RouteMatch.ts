import type Service from '../types/Service';

/** Route and service of a request, and the regions that may serve it. */
interface RouteMatch {
  readonly routeName: string;
  readonly serviceName: string;
  readonly service: Service;
  /** The only regions that may serve the request; undefined if every region may. */
  readonly homeRegions: readonly string[] | undefined;
}

export default RouteMatch;
