/**
 * Admits a share of a sequence of requests by error diffusion: after any number of requests, as
 * many have been admitted as the sum of the shares, less than one more or fewer.
 */
export default class ShareDiffusion {
  /** @param error - where the sequence starts, from 0 to 1; entries start at different places */
  constructor(private error: number) {}

  /**
   * @param share - share of the requests to admit now, from 0 to 1
   * @returns whether the next request is admitted
   */
  next(share: number): boolean {
    this.error += share;
    if (this.error < 1) return false;
    this.error -= 1;
    return true;
  }
}
