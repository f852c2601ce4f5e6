/** Headers of a response, by lower-case name. */
type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>;

export default AnswerHeaders;
