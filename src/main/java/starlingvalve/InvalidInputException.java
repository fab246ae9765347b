package starlingvalve;

/** Input that can't be read, in plain words. */
public final class InvalidInputException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Says what is wrong with it. */
    public InvalidInputException(String text) {
        super(text);
    }
}
