import v8 from 'node:v8';
import vm from 'node:vm';

type CollectGarbage = (options?: { readonly type: 'minor' | 'major' }) => void;

/** Share of the memory of the VM above which garbage is collected early. */
const HIGH_SHARE = 0.68;
/** Garbage that may pile up meanwhile, in bytes. */
const GROWTH_BYTES = 8 * 1024 * 1024;
const CHECK_INTERVAL_MS = 50;
const BYTES_PER_MB = 1e6;

/**
 * Collects garbage early while the process uses much of the memory of its VM: the runtime does not
 * know that limit, and would let several times the bytes in use pile up before it collects.
 */
export default class GarbageWatch {
  private readonly collect: CollectGarbage;

  private readonly timer: NodeJS.Timeout;

  private readonly highBytes: number;

  private liveBytes = 0;

  private collections = 0;

  /**
   * @param memoryMb - memory of the VM, in megabytes
   */
  constructor(memoryMb: number) {
    this.highBytes = memoryMb * HIGH_SHARE * BYTES_PER_MB;
    v8.setFlagsFromString('--expose-gc');
    this.collect = vm.runInNewContext('gc') as CollectGarbage;
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  /** Number of collections that were started early. */
  get count(): number {
    return this.collections;
  }

  /** Collects garbage if much of it may have piled up. */
  check(): void {
    if (process.memoryUsage.rss() < this.highBytes) return;
    if (GarbageWatch.countBytes() < this.liveBytes + GROWTH_BYTES) return;
    this.collections += 1;
    this.collect({ type: 'minor' });
    if (GarbageWatch.countBytes() < this.liveBytes + GROWTH_BYTES) return;
    this.collect({ type: 'major' });
    this.liveBytes = GarbageWatch.countBytes();
  }

  private static countBytes(): number {
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
  }
}
