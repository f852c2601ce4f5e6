declare module 'undici/lib/core/connect' {
  import { buildConnector } from 'undici';

  export default buildConnector;
}

declare module 'undici/lib/dispatcher/client' {
  import { Client } from 'undici';

  export default Client;
}
