/** Raised instead of sending a request to a process that no probe has told of. */
export default class ProcessUnknownError extends Error {
  constructor() {
    super('the connection has ended');
  }
}
