/** An IP number and a port. */
interface Endpoint {
  readonly host: string;
  readonly port: number;
}

export default Endpoint;
