declare module 'prom-client/lib/counter' {
  import { Counter } from 'prom-client';

  export default Counter;
}

declare module 'prom-client/lib/gauge' {
  import { Gauge } from 'prom-client';

  export default Gauge;
}

declare module 'prom-client/lib/histogram' {
  import { Histogram } from 'prom-client';

  export default Histogram;
}

declare module 'prom-client/lib/registry' {
  import { Registry } from 'prom-client';

  export default Registry;
}
