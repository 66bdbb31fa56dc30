#include "edit_json.h"

namespace gaugevalve::settings {

void WriteEdit(nlohmann::ordered_json& json, const EditDescription& edit) {
  json["edit_id"] = edit.edit_id;
  json["author"] = edit.author;
  json["comment"] = edit.comment;
  json["edited_at"] = edit.edited_at;
}

EditDescription ReadEdit(JsonReader& reader) {
  EditDescription edit;
  edit.edit_id = reader.Text("edit_id");
  edit.author = reader.Text("author");
  edit.comment = reader.Text("comment");
  edit.edited_at = reader.Number("edited_at");
  return edit;
}

}  // namespace gaugevalve::settings
