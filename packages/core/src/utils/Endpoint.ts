/** IP address and port. */
interface Endpoint {
  readonly host: string;
  readonly port: number;
}

export default Endpoint;
