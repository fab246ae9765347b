package starlingvalve;

/** Signals input that can't be parsed or is not valid. */
public final class InvalidInputException extends Exception {
    private static final long serialVersionUID = 1L;

    /** The text says what is wrong with the input. */
    public InvalidInputException(String text) {
        super(text);
    }
}
