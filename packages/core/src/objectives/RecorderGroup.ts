import type RequestRecord from './RequestRecord';
import type RequestRecorder from './RequestRecorder';

/** Forwards each finished request to several recorders. */
export default class RecorderGroup implements RequestRecorder {
  constructor(private readonly recorders: readonly RequestRecorder[]) {}

  record(record: RequestRecord, status: number, isComplete: boolean): void {
    this.recorders.forEach((recorder) => recorder.record(record, status, isComplete));
  }
}
